package adminapi

import (
	"net/http"
	"strings"

	"teaselgauge.example/teaselgauge/pkg/keys"
	"teaselgauge.example/teaselgauge/pkg/settings"
)

const bearerPrefix = "Bearer "

// authenticate returns the credential that matches a request's bearer token. It
// compares the token with all credentials, each in constant time.
func authenticate(credentials []settings.AdminCredential, r *http.Request) (settings.AdminCredential, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || token == "" {
		return settings.AdminCredential{}, false
	}
	hash := keys.HashAPIKey(token)
	var match settings.AdminCredential
	found := false
	for _, credential := range credentials {
		if keys.EqualHash(credential.TokenHash, hash) {
			match = credential
			found = true
		}
	}
	return match, found
}

// includes reports whether a role includes the required one.
func includes(role, required settings.AdminRole) bool {
	return role == required || role == settings.AdminEditor
}
