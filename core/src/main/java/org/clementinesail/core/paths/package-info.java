/** Chooses the engines that a request passes through, and the server of a plain call. */
package org.clementinesail.core.paths;
