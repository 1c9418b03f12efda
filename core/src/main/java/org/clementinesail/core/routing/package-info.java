/** Choice of targets: chains of engines that cover a model's layers, and services. */
package org.clementinesail.core.routing;
