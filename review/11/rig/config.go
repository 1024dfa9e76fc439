package main

import "fmt"

// config returns a config with one route at host for each service, and the time-out that tells the
// versions apart.
func config(host string, version int, services ...string) []byte {
	routes, list := "", ""
	for i, s := range services {
		if i > 0 {
			routes, list = routes+",", list+","
		}
		routes += fmt.Sprintf(`{"name":"r-%d","host":%q,"prefix":"/%d/","kind":"safe","timeout_ms":%d,"target_latency_ms":200,"priority":2,"service":%q,"max_attempts":2}`,
			i, host, 8443+i, 1500+version, s)
		list += fmt.Sprintf(`{"name":%q,"health_check_path":"/health","flow_limit":2000,"protocol":"h1","tls":false}`, s)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routes, list)
}
