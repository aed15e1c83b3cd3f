// Package caller serves the connections of callers over HTTP/1.1 with net/http. It adds what net/http
// leaves out, so that no connection is reset before its caller has the answer:
//   - a read times out only if nothing has arrived, even if the process didn't run at the deadline
//     (see conn.Read);
//   - a graceful shutdown serves the connections that wait to be accepted, and the requests that arrive
//     while it begins (see Server.Shutdown).
package caller
