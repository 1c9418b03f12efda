/** Selects targets: chains of engines that cover the layers of a model, and services. */
package org.clementinesail.core.routing;
