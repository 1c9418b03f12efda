/** Creation of the server and its components with Dagger, and its start and stop. */
package org.clementinesail.server.wiring;
