package routes

// tenantWeights returns the weights of the tenants whose quotas set a rate, by name: the rate against the mean of all quotas
// in its unit.
func tenantWeights(c *Configuration) map[string]float64 {
	sums, counts := map[QuotaUnit]float64{}, map[QuotaUnit]float64{}
	for i := range c.Tenants {
		if q := c.Tenants[i].Quota; q != nil && q.PerSecond > 0 {
			sums[q.Unit] += q.PerSecond
			counts[q.Unit]++
		}
	}
	weights := map[string]float64{}
	for i := range c.Tenants {
		if q := c.Tenants[i].Quota; q != nil && q.PerSecond > 0 {
			weights[c.Tenants[i].Name] = q.PerSecond * counts[q.Unit] / sums[q.Unit]
		}
	}
	return weights
}

// Weight returns the part of the room that a tenant has against the others of its priority; 1 without a quota.
func (t *Table) Weight(tenant *Tenant) float64 {
	if tenant == nil {
		return 1
	}
	if w, ok := t.weights[tenant.Name]; ok {
		return w
	}
	return 1
}
