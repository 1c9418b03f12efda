/* Sends a process's connects to the port CUT_FROM to the port CUT_TO of the same address. */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static in_port_t port(const char *name) {
  const char *value = getenv(name);
  return value == NULL ? 0 : htons((in_port_t)atoi(value));
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  int (*real)(int, const struct sockaddr *, socklen_t) = dlsym(RTLD_NEXT, "connect");
  struct sockaddr_storage copy;
  if (length <= sizeof(copy) &&
      (address->sa_family == AF_INET || address->sa_family == AF_INET6)) {
    memcpy(&copy, address, length);
    /* The port has the same place in both kinds of address. */
    struct sockaddr_in *to = (struct sockaddr_in *)&copy;
    if (to->sin_port == port("CUT_FROM") && port("CUT_TO") != 0) {
      to->sin_port = port("CUT_TO");
    }
    return real(fd, (struct sockaddr *)&copy, length);
  }
  return real(fd, address, length);
}
