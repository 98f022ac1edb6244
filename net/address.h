#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <netinet/in.h>

/*
 * Parse "127.0.0.1:8080", a numeric IPv4 address and a port, into out. Host
 * names are not resolved, since hosts are addressed by IP number. Returns
 * RESULT_OK or RESULT_INVALID.
 */
int address_parse(const char *text, struct sockaddr_in *out);

#endif
