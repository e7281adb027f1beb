package htapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"hawthornturn/io/htsettings"
)

// keyring maps operators' keys to roles. It stores hashes, so that a comparison takes
// the same time for keys of any length.
type keyring struct {
	hashes [][sha256.Size]byte
	roles  []htsettings.Role
}

func newKeyring(operators []htsettings.Operator) keyring {
	var k keyring
	for _, o := range operators {
		k.hashes = append(k.hashes, sha256.Sum256([]byte(o.Key)))
		k.roles = append(k.roles, o.Role)
	}
	return k
}

// role returns the role of a key, and false if the key is unknown. It compares with
// every hash, so that its duration does not depend on which one matches.
func (k keyring) role(key string) (htsettings.Role, bool) {
	hash := sha256.Sum256([]byte(key))
	var role htsettings.Role
	for i := range k.hashes {
		if subtle.ConstantTimeCompare(hash[:], k.hashes[i][:]) == 1 {
			role = k.roles[i]
		}
	}
	return role, role != ""
}

// require passes on requests whose key has the role; a writer may also read. An unknown
// key gets status 401, a key that may only read 403.
func (k keyring) require(role htsettings.Role, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		granted, known := k.role(key)
		if !bearer || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, r, &Problem{Status: http.StatusUnauthorized, Message: "a known key is required"})
			return
		}
		if role == htsettings.RoleWriter && granted != htsettings.RoleWriter {
			writeProblem(w, r, &Problem{Status: http.StatusForbidden, Message: "the key may only read"})
			return
		}
		next.ServeHTTP(w, r)
	})
}
