package controller

import (
	"context"
	"testing"
	"time"

	"github.com/ragworttrestle/ragworttrestle/internal/process/audit"
	"github.com/ragworttrestle/ragworttrestle/internal/process/boottime"
)

// writeEntry writes a segment with one entry of an age.
func (s *site) writeEntry(object string, age time.Duration) {
	s.t.Helper()
	trail := audit.NewTrail(audit.Config{Store: s.store, Writer: object})
	trail.Record(audit.Entry{At: time.Now().Add(-age), What: audit.WhatConfig, Object: object})
	if err := trail.Flush(context.Background()); err != nil {
		s.t.Fatal(err)
	}
}

// entries lists the objects of the entries that are left.
func (s *site) entries() []string {
	s.t.Helper()
	log, err := audit.Read(context.Background(), s.store, audit.Filter{})
	if err != nil {
		s.t.Fatal(err)
	}
	var out []string
	for _, e := range log.Entries {
		out = append(out, e.Object)
	}
	return out
}

// pruneBegins asks the loop to prune and reports whether it began to.
func (p *process) pruneBegins(now boottime.Time) bool {
	answer := make(chan bool, 1)
	p.post(func() {
		p.pruneAudit(now)
		answer <- p.pruning.running
	})
	return <-answer
}

func TestTheHolderPrunesTheAuditTrail(t *testing.T) {
	s := newSite(t, true, "r1")
	s.writeEntry("Runner/old", auditKept+time.Hour)
	s.writeEntry("Runner/young", auditKept-time.Hour)
	a := s.start("c-a")
	b := s.start("c-b", a.Addresses().Peers.String())
	lead := s.leader(a, b)
	s.until("the holder may order", lead.ordersNow)
	other := a
	if lead == a {
		other = b
	}
	if later := boottime.Now().Add(pruneEvery); other.pruneBegins(later) {
		t.Error("a process without the lease prunes")
	}
	if lead.pruneBegins(boottime.Now()) {
		t.Error("prunes before it is due")
	}
	if !lead.pruneBegins(boottime.Now().Add(pruneFirst)) {
		t.Error("the holder does not prune when it is due")
	}
	s.until("the old segment is gone", func() bool { return len(s.entries()) == 1 })
	if left := s.entries(); left[0] != "Runner/young" {
		t.Errorf("left is %v", left)
	}
	s.until("the prune has ended", func() bool { return !lead.pruneBegins(boottime.Now().Add(pruneEvery / 2)) })
}
