package org.clementinesail.server.wiring;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;
import org.clementinesail.server.settings.Settings;

/** Assembles a server from its settings. */
@Singleton
@Component(modules = {ControlModule.class, TrafficModule.class})
public interface ServerComponent {

  /** Returns the assembled server, not started yet. */
  VmServer server();

  /** Creates components. */
  @Component.Factory
  interface Factory {
    /**
     * Creates a component.
     *
     * @param settings settings of the VM
     */
    ServerComponent create(@BindsInstance Settings settings);
  }
}
