/** Stand-ins for engines and shop services, for tests and local trials. */
package org.clementinesail.fakes;
