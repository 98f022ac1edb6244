#ifndef NET_ADDRESS_H
#define NET_ADDRESS_H

#include <netinet/in.h>

/*
 * Read "127.0.0.1:8080": an IPv4 number and a port, never a name, since hosts
 * are met by IP number. Returns RESULT_OK or RESULT_INVALID.
 */
int address_parse(const char *text, struct sockaddr_in *out);

#endif
