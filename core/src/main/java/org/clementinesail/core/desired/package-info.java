/** The desired state that operators submit: routes, services, workspaces and request limits. */
package org.clementinesail.core.desired;
