/**
 * Selects among the targets of {@code org.clementinesail.core.targets}: chains of engines that
 * cover the layers of a model, and services.
 */
package org.clementinesail.core.routing;
