/** Settings of a VM: reading and validation, with line numbers in error messages. */
package org.clementinesail.server.settings;
