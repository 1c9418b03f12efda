package org.clementinesail.server.wiring;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.clementinesail.server.settings.Settings;

/** Dagger component that creates a server from its settings. */
@Singleton
@Component(modules = {ControlModule.class, TrafficModule.class})
public interface ServerComponent {

  /** Returns the server, not started yet. */
  VmServer server();

  /** Creates a component for given settings. */
  @Component.Factory
  interface Factory {
    /**
     * Creates a component.
     *
     * @param settings validated settings of this VM
     */
    ServerComponent create(@BindsInstance Settings settings);
  }
}
