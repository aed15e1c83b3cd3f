// Package member joins the platform's lagging list with heartbeats between peers and with what connections show: live, suspected, leaving, dead. Pure.
package member
