/** The replicated state machine: accepted rule files and claims on calls that may not repeat. */
package org.clementinesail.core.state;
