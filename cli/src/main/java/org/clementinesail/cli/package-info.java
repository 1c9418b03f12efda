/** Command line tool for operators: checks and submits rule files, and shows the status. */
package org.clementinesail.cli;
