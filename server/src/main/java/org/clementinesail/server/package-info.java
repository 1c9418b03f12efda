/** The server binary: sockets, files and timers round the core. */
package org.clementinesail.server;
