/** Selects the engines that a request passes through, and the server for a service call. */
package org.clementinesail.core.paths;
