/** The replicated state machine: rule files, desired state and claims on calls that run once. */
package org.clementinesail.core.state;
