/** Assembly of the server by Dagger. */
package org.clementinesail.server.wiring;
