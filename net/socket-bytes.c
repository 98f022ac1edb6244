#define _GNU_SOURCE /* for POLLRDHUP */
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "net/socket-bytes.h"

bool socket_bytes_read(int fd, struct socket_bytes *b)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	int unread = 0;
	bool unread_known = !ioctl(fd, FIONREAD, &unread);
	bool received_known =
		!getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len);

	b->unread = unread_known ? unread : 0;
	b->received = received_known ? (int64_t)info.tcpi_bytes_received : 0;
	return unread_known && received_known;
}

bool socket_is_closed(int fd)
{
	struct pollfd p = { .fd = fd, .events = POLLRDHUP };

	return poll(&p, 1, 0) > 0 && p.revents;
}
