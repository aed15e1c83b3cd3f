package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/ragworttrestle/ragworttrestle/internal/errkind"
	"github.com/ragworttrestle/ragworttrestle/internal/version/config"
	"github.com/ragworttrestle/ragworttrestle/internal/version/resource"
)

const bearerPrefix = "Bearer "

// authenticate returns the name and the specification of the client account that a request's key
// belongs to. It returns an error if the key is missing or unknown. Keys are looked up by their
// SHA-256 hash, and neither a key nor its hash is ever logged.
func authenticate(s *config.Snapshot, h http.Header) (string, resource.ClientAccount, error) {
	header := h.Get("Authorization")
	key, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok || key == "" {
		return "", resource.ClientAccount{}, errkind.Field(errkind.Unauthenticated, "Authorization",
			"Authorization must be a bearer token with the key of a client account")
	}
	sum := sha256.Sum256([]byte(key))
	name, ok := s.ByKeyHash[hex.EncodeToString(sum[:])]
	if !ok {
		return "", resource.ClientAccount{}, errkind.Field(errkind.Unauthenticated, "Authorization",
			"the key belongs to no client account")
	}
	return name, s.Accounts[name], nil
}

// mayUse reports whether an account may use a route. An account that lists no routes may use all.
func mayUse(a resource.ClientAccount, routeName string) bool {
	return len(a.Routes) == 0 || slices.Contains(a.Routes, routeName)
}

// effectivePriority returns the priority of a request: the lower of the route's priority and the
// requested one, or of the route's priority and the account's maximum if requested is nil. It
// returns an error if the caller requested more than the account's maximum.
func effectivePriority(requested *int, r resource.Route, a resource.ClientAccount) (int, error) {
	if requested == nil {
		return min(r.Priority, a.MaxPriority), nil
	}
	if *requested > a.MaxPriority {
		return 0, errkind.Field(errkind.PermissionDenied, fieldPriority,
			"the priority is above the client account's maximum")
	}
	return min(*requested, r.Priority), nil
}
