package catalog_test

import (
	"fmt"
	"testing"

	"knapweedhoist/catalog"
)

// BenchmarkSnapshot measures decoding, validating and indexing a document of 60 services and 400 teams.
func BenchmarkSnapshot(b *testing.B) {
	d := catalog.Initial()
	for i := range 60 {
		d.Services = append(d.Services, catalog.Service{
			Name: fmt.Sprintf("service-%d", i), Kind: catalog.KindModel, Models: []string{fmt.Sprintf("m-%d", i)},
		})
	}
	for i := range 400 {
		d.Teams = append(d.Teams, catalog.Team{
			Name: fmt.Sprintf("team-%d", i), KeyHashes: []string{hash(fmt.Sprint(i))}, Services: []string{"service-1", "service-2"},
		})
	}
	value, err := d.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(value)), "document-bytes")
	b.ReportAllocs()
	for b.Loop() {
		decoded, err := catalog.Decode(value)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := catalog.NewSnapshot(decoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value)), "document-bytes")
}
