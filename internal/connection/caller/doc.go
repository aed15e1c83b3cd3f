// Package caller serves the connections of callers over HTTP/1.1 with net/http. It adds what net/http
// leaves out, so that no connection is reset before its caller has the answer:
//   - a connection whose request wasn't read to its end is half-closed after the answer, and what the
//     caller still sends is discarded for a while (see conn.Close);
//   - a read times out only if nothing has arrived, even if the process didn't run at the deadline
//     (see conn.Read);
//   - a graceful shutdown serves the connections that wait to be accepted, and the requests that arrive
//     while it begins (see Server.Shutdown).
package caller
