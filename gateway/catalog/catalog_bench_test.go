package catalog

import (
	"fmt"
	"strings"
	"testing"

	"github.com/ryeford/ryeford"
)

// benchSizes are the numbers of routes.
var benchSizes = []int{100, 1000, 3000, 10000}

// benchConfiguration returns a configuration with 40 routes for each host.
func benchConfiguration(routes int) *ryeford.Configuration {
	c := &ryeford.Configuration{}
	for i := range routes {
		c.Routes = append(c.Routes, ryeford.RouteRule{
			Name: fmt.Sprintf("route-%05d", i), Host: fmt.Sprintf("host-%03d.example", i/40), Prefix: fmt.Sprintf("/v%d/part-%d/", i%3, i),
		})
	}
	return c
}

// BenchmarkNew measures building a catalog.
func BenchmarkNew(b *testing.B) {
	for _, routes := range benchSizes {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			configuration := benchConfiguration(routes)
			b.ReportAllocs()
			for b.Loop() {
				New(configuration)
			}
		})
	}
}

// BenchmarkRoute measures looking up a route, among many routes and for long paths.
func BenchmarkRoute(b *testing.B) {
	for _, routes := range benchSizes {
		c := New(benchConfiguration(routes))
		for _, extra := range []int{1, 100, 10000} {
			b.Run(fmt.Sprintf("routes=%d/slashes=%d", routes, extra), func(b *testing.B) {
				path := "/v2/part-50/" + strings.Repeat("x/", extra)
				b.ReportAllocs()
				for b.Loop() {
					if c.Route("host-001.example", path) == nil {
						b.Fatal("no route")
					}
				}
			})
		}
	}
}
