/** The server program: adds network, file storage and timers to the core. */
package org.clementinesail.server;
