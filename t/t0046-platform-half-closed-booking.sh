#!/bin/bash
# A caller shuts down only its sending side. It must not be told "not run" of a
# booking that runs.
. "$(dirname "$0")/lib-platform.sh"
start_platform "records bookings" "hakata tenjin kurume kitakyu"
platform_config 7 ',{"name":"slow","kind":"unsafe","goal_ms":20000,"priority":1,
	"match":{"path_prefix":"/slow/"},"action":{"service":"bookings",
	"timeout_ms":20000,"attempts":2}}'
wait_platform
for i in 1 3 5 7; do server_control $i work_ms=3000; done
exec 4< <(perl -e 'use IO::Socket::INET; $|=1;
my $s=IO::Socket::INET->new(PeerAddr=>$ARGV[0]) or die; 
print $s "POST /slow/1 HTTP/1.1\r\nHost: a.example\r\nX-Mesh-Request-Id: half\r\nX-Mesh-Deadline-Ms: 15000\r\nContent-Length: 1\r\n\r\nx";
select(undef,undef,undef,1); shutdown($s,1); while(<$s>){print}' "$(caller_of 0)")
began() { [ "$(ran half)" -ge 1 ]; }
wait_for "it to begin" began
answer=$(head -1 <&4 | tr -d '\r')
case $answer in *" 503 "* | *" 429 "*) echo "told not run, and ran $(ran half)" ;; *) echo "promised nothing" ;; esac
