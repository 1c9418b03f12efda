package org.clementinesail.server.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.clementinesail.core.rules.RuleSet;
import org.clementinesail.server.control.RulesSubmitter;
import org.clementinesail.server.control.StatusCollector;
import org.clementinesail.server.requests.ModelRunner;
import org.clementinesail.server.requests.ServiceRunner;
import org.clementinesail.server.settings.Settings;
import org.clementinesail.server.targets.TargetGossip;
import org.clementinesail.server.targets.TargetRegistry;
import org.tinylog.Logger;
import org.xnio.Options;

/**
 * The three HTTP listeners of a VM, each with its own port. The listener for callers has a server
 * and limits of its own.
 */
public final class HttpServers implements AutoCloseable {
  private static final int IO_THREADS = 2;
  private static final int CONTROL_WORKER_THREADS = 16;

  /** Added to the limit of running requests, so that health checks and refusals get a thread. */
  private static final int EXTRA_WORKER_THREADS = 32;

  private static final long MAX_CONTROL_BODY_BYTES = 16L * 1_024 * 1_024;
  private static final int MAX_HEADERS = 100;

  private final Undertow callerServer;
  private final Undertow controlServer;

  /**
   * Objects that the HTTP handlers use.
   *
   * @param admission admits or refuses requests of callers
   * @param rules supplies the rules in force
   * @param modelRunner runs model requests
   * @param serviceRunner runs service calls
   * @param metrics records durations and outcomes of requests
   * @param targets registers announcements, load reports and departures of targets
   * @param gossip sends changes of targets to the other VMs
   * @param submitter submits rule files to the replicas
   * @param statusCollector collects the status of all VMs
   */
  public record Dependencies(
      RequestAdmission admission,
      Supplier<RuleSet> rules,
      ModelRunner modelRunner,
      ServiceRunner serviceRunner,
      RequestMetrics metrics,
      TargetRegistry targets,
      TargetGossip gossip,
      RulesSubmitter submitter,
      StatusCollector statusCollector) {}

  /**
   * Creates the listeners; {@link #start} opens their ports.
   *
   * @param settings addresses, deadlines and limits
   * @param dependencies objects that the handlers use
   */
  public HttpServers(Settings settings, Dependencies dependencies) {
    HttpResponses responses =
        new HttpResponses(new ObjectMapper(), new WriteTimeout(settings.deadlines().callerIdle()));
    CallerApi callerApi =
        new CallerApi(
            responses,
            dependencies.admission(),
            dependencies.rules(),
            new ModelRequestHandler(responses, dependencies.modelRunner(), dependencies.metrics()),
            dependencies.serviceRunner(),
            dependencies.metrics(),
            settings.deadlines().request(),
            settings.deadlines().serviceCall());
    TargetApi targetApi = new TargetApi(responses, dependencies.targets(), dependencies.gossip());
    OperatorApi operatorApi =
        new OperatorApi(
            responses,
            settings.operatorToken(),
            dependencies.submitter(),
            dependencies.statusCollector(),
            dependencies.metrics());
    int idleMillis = (int) settings.deadlines().callerIdle().toMillis();
    InetSocketAddress callerAddress = settings.listen().callers();
    this.callerServer =
        Undertow.builder()
            .addHttpListener(callerAddress.getPort(), callerAddress.getHostString())
            .setHandler(new BlockingHandler(withErrorHandling(callerApi)))
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(settings.limits().requests() + EXTRA_WORKER_THREADS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, settings.limits().bodyBytes())
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, settings.limits().headerBytes())
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, idleMillis)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
            .setSocketOption(Options.READ_TIMEOUT, idleMillis)
            .build();
    InetSocketAddress targetAddress = settings.listen().targets();
    InetSocketAddress operatorAddress = settings.listen().operators();
    this.controlServer =
        Undertow.builder()
            .addListener(listener(targetAddress, targetApi))
            .addListener(listener(operatorAddress, operatorApi))
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(CONTROL_WORKER_THREADS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_CONTROL_BODY_BYTES)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, idleMillis)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
            .build();
  }

  /** Opens the ports: first those for targets and operators, then the one for callers. */
  public void start() {
    controlServer.start();
    callerServer.start();
  }

  @Override
  public void close() {
    callerServer.stop();
    controlServer.stop();
  }

  private static Undertow.ListenerBuilder listener(InetSocketAddress address, HttpHandler api) {
    return new Undertow.ListenerBuilder()
        .setType(Undertow.ListenerType.HTTP)
        .setHost(address.getHostString())
        .setPort(address.getPort())
        .setRootHandler(new BlockingHandler(withErrorHandling(api)));
  }

  private static HttpHandler withErrorHandling(HttpHandler handler) {
    return exchange -> {
      try {
        handler.handleRequest(exchange);
      } catch (IOException e) {
        Logger.debug("connection failed during a request: {}", e.getMessage());
        exchange.getConnection().close();
      } catch (RuntimeException e) {
        Logger.error(e, "unhandled exception in a request handler");
        sendInternalError(exchange);
      }
    };
  }

  private static void sendInternalError(HttpServerExchange exchange) throws IOException {
    if (exchange.isResponseStarted()) {
      exchange.getConnection().close();
    } else {
      exchange.setStatusCode(500);
      exchange.endExchange();
    }
  }
}
