/** Settings of a VM: reading, checking and error messages. */
package org.clementinesail.server.settings;
