// Package budget decides how many connections a process keeps open for its callers and how many bytes
// it holds for them, and which connections are closed when either runs short. It has no I/O, clock or
// goroutine: its caller passes the time and carries out what it decides.
//
// Each connection costs a fixed number of bytes. Heads that cost more, bodies of requests and buffered
// responses are booked before they are held. Callers arrive through a load balancer, so a source address
// doesn't tell who they are. What tells a caller that keeps the process from serving others is that it
// makes no progress for what it holds. So when there is no room, the connections that have made no
// progress for longest are closed, and only if there are none is the newcomer refused. Requests that have
// arrived whole are never given up.
package budget
