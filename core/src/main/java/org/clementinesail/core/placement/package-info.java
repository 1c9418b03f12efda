/** Decides which layers each engine holds. */
package org.clementinesail.core.placement;
