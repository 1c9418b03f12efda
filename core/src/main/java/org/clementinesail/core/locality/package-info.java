/** Decides which share of a data centre's demand other data centres serve. */
package org.clementinesail.core.locality;
