// Package holds keeps work away from upstreams that crash under it, for one process: it
// joins the decisions of package quarantine with the platform, which keeps the holds, and with
// other instances.
package holds
