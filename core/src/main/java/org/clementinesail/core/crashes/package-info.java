/** Finds what requests that crash targets have in common. */
package org.clementinesail.core.crashes;
