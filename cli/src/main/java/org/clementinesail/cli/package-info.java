/** The operator's command line. */
package org.clementinesail.cli;
