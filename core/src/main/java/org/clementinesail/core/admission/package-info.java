/** Decides in which order requests get targets, how long they wait and which ones are refused. */
package org.clementinesail.core.admission;
