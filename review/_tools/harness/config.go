package main

import (
	"fmt"
	"strings"
)

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service, timeout, target string
	priority, maxAttempts                        int
}

func configuration(version int, routes []route, services ...string) string {
	var items []string
	for _, r := range routes {
		timeout := ""
		if r.timeout != "" {
			timeout = fmt.Sprintf(`"timeout":%q,`, r.timeout)
		}
		items = append(items, fmt.Sprintf(`{"entry-kind":"routes","metadata":{"name":%q},"spec":{"host":"a.example","path-prefix":%q,"kind":%q,%s"target-latency":%q,"priority":%d,"service":%q,"max-attempts":%d,"allowed-regions":[]}}`,
			r.name, r.prefix, r.kind, timeout, r.target, r.priority, r.service, r.maxAttempts))
	}
	items = append(items, services...)
	items = append(items, `{"entry-kind":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"15000ms"}}`)
	return fmt.Sprintf(`{"version":"r%d","resources":[%s]}`, version, strings.Join(items, ","))
}

func plainService(name string) string {
	return fmt.Sprintf(`{"entry-kind":"services","metadata":{"name":%q},"spec":{"health-path":"/health","max-conns":130,"protocol":"h1","tls":false,"warmup":"3s","warmup-per-s":5.3}}`, name)
}

func shardedService(name string) string {
	return fmt.Sprintf(`{"entry-kind":"services","metadata":{"name":%q},"spec":{"health-path":"/health","max-conns":130,"protocol":"h1","tls":false,"warmup":"3s","warmup-per-s":5.3,"sharded":true,"warm":"2s","grants":"request"}}`, name)
}

var (
	readsRoute   = route{name: "listing-reads", prefix: "/reads/", kind: "safe", service: "desk", timeout: "1000ms", target: "500ms", priority: 2, maxAttempts: 2}
	noticesRoute = route{name: "intent-notices", prefix: "/notices/", kind: "unsafe", service: "desk", timeout: "1200ms", target: "600ms", priority: 1, maxAttempts: 2}
	uploadsRoute = route{name: "draft-uploads", prefix: "/drafts/", kind: "upload", service: "review", target: "600ms", priority: 1, maxAttempts: 2}
	feedsRoute   = route{name: "deadline-feeds", prefix: "/feeds/", kind: "safe", service: "review", timeout: "4000ms", target: "2000ms", priority: 2, maxAttempts: 2}
)
