/** The HTTP interfaces for callers, targets and operators. */
package org.clementinesail.server.http;
