/** Selects the engines that a request passes through, and the server for a plain call. */
package org.clementinesail.core.paths;
