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

/** The three HTTP listeners of a VM, each with its own port and limits. */
public final class HttpServers implements AutoCloseable {
  private static final int IO_THREADS = 2;
  private static final int CONTROL_THREADS = 16;
  private static final int SPARE_THREADS = 32;
  private static final long CONTROL_BODY_BYTES = 16L * 1_024 * 1_024;
  private static final int MAX_HEADERS = 100;

  private final Undertow callers;
  private final Undertow control;

  /**
   * What the interfaces are made of.
   *
   * @param intake admits requests
   * @param rules the rules in force
   * @param models runs model requests
   * @param services runs service calls
   * @param metrics notes how requests end
   * @param targets takes statements of targets
   * @param gossip spreads them
   * @param submitter has rule files accepted
   * @param status tells of the site
   */
  public record Parts(
      Intake intake,
      Supplier<RuleSet> rules,
      ModelRunner models,
      ServiceRunner services,
      RequestMetrics metrics,
      TargetRegistry targets,
      TargetGossip gossip,
      RulesSubmitter submitter,
      StatusCollector status) {}

  /**
   * Creates listeners that do not listen yet.
   *
   * @param settings addresses and limits
   * @param parts what the interfaces are made of
   */
  public HttpServers(Settings settings, Parts parts) {
    HttpReplies replies =
        new HttpReplies(new ObjectMapper(), new WriteGuard(settings.deadlines().callerIdle()));
    CallerApi callerApi =
        new CallerApi(
            replies,
            parts.intake(),
            parts.rules(),
            new ModelAnswers(replies, parts.models(), parts.metrics()),
            parts.services(),
            parts.metrics(),
            settings.deadlines().request(),
            settings.deadlines().serviceCall());
    TargetApi targetApi = new TargetApi(replies, parts.targets(), parts.gossip());
    OperatorApi operatorApi =
        new OperatorApi(
            replies, settings.operatorToken(), parts.submitter(), parts.status(), parts.metrics());
    int idleMillis = (int) settings.deadlines().callerIdle().toMillis();
    InetSocketAddress callerAddress = settings.listen().callers();
    this.callers =
        Undertow.builder()
            .addHttpListener(callerAddress.getPort(), callerAddress.getHostString())
            .setHandler(new BlockingHandler(logged(callerApi)))
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(settings.limits().requests() + SPARE_THREADS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, settings.limits().bodyBytes())
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, settings.limits().headerBytes())
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, idleMillis)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
            .setSocketOption(Options.READ_TIMEOUT, idleMillis)
            .build();
    InetSocketAddress targets = settings.listen().targets();
    InetSocketAddress operators = settings.listen().operators();
    this.control =
        Undertow.builder()
            .addListener(listener(targets, targetApi))
            .addListener(listener(operators, operatorApi))
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(CONTROL_THREADS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, CONTROL_BODY_BYTES)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, idleMillis)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, idleMillis)
            .build();
  }

  /** Begins to listen. */
  public void start() {
    control.start();
    callers.start();
  }

  @Override
  public void close() {
    callers.stop();
    control.stop();
  }

  private static Undertow.ListenerBuilder listener(InetSocketAddress address, HttpHandler api) {
    return new Undertow.ListenerBuilder()
        .setType(Undertow.ListenerType.HTTP)
        .setHost(address.getHostString())
        .setPort(address.getPort())
        .setRootHandler(new BlockingHandler(logged(api)));
  }

  private static HttpHandler logged(HttpHandler handler) {
    return exchange -> {
      try {
        handler.handleRequest(exchange);
      } catch (IOException e) {
        Logger.debug("a connection broke: {}", e.getMessage());
        exchange.getConnection().close();
      } catch (RuntimeException e) {
        Logger.error(e, "a request failed inside the server");
        fail(exchange);
      }
    };
  }

  private static void fail(HttpServerExchange exchange) throws IOException {
    if (exchange.isResponseStarted()) {
      exchange.getConnection().close();
    } else {
      exchange.setStatusCode(500);
      exchange.endExchange();
    }
  }
}
