/** Small stand-ins for engines and shop services, for tests and for trying the system out. */
package org.clementinesail.fakes;
