package main

// Names of the only host name and of its services.
const (
	hostName   = "a.example"
	serviceOne = "one"
	serviceTwo = "two"
)

// rule is a route of the configuration.
type rule struct {
	name, kind, prefix, service string
	timeoutMs                   int
}

// config returns a configuration in the form of the site's example, with its limits.
func config(version int, rules ...rule) map[string]any {
	list := []any{}
	for _, r := range rules {
		list = append(list, map[string]any{
			"name": r.name, "kind": r.kind, "targetLatencyMs": 400, "priority": 1, "match": map[string]any{"prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutMs": r.timeoutMs, "maxAttempts": 2},
		})
	}
	cluster := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 220, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 4.1}
	}
	return map[string]any{
		"version": version, "baseVersion": version - 1,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"listeners": []any{map[string]any{"host": hostName, "rules": list}},
		"clusters":  []any{cluster(serviceOne), cluster(serviceTwo)},
	}
}
