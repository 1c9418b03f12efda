/** JSON-lines logs. */
package org.clementinesail.server.logging;
