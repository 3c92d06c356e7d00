package control

// handleStoreEra records the era of the store. A response to a request that was sent before
// the last change of the era tells nothing.
func (c *Control) handleStoreEra(t Time, e StoreEraSeen) {
	if e.Era == c.storeEra || e.Before != c.storeEra {
		return
	}
	c.storeEra = e.Era
	c.publishView(t)
}
