package upstream

import (
	"net"
	"strings"
)

// Index is a section ready for look-up. It is never changed once it is built.
type Index struct {
	Section *Section
	// hosts holds the paths of each host by prefix.
	hosts  map[string]map[string]*Path
	pools  map[string]*Pool
	models map[string]map[string]*Model
	// tenants are by name, keyHolders by the digests of their keys.
	tenants    map[string]*Tenant
	keyHolders map[KeyDigest]*Tenant
}

// NewIndex builds it.
func NewIndex(section *Section) *Index {
	index := &Index{
		Section:    section,
		hosts:      map[string]map[string]*Path{},
		pools:      map[string]*Pool{},
		models:     map[string]map[string]*Model{},
		tenants:    make(map[string]*Tenant, len(section.Tenants)),
		keyHolders: make(map[KeyDigest]*Tenant, len(section.Tenants)),
	}
	for position := range section.Paths {
		path := &section.Paths[position]
		host := HostKey(path.Host)
		if index.hosts[host] == nil {
			index.hosts[host] = map[string]*Path{}
		}
		index.hosts[host][path.Prefix] = path
	}
	for position := range section.Pools {
		pool := &section.Pools[position]
		index.pools[pool.Name] = pool
		if pool.Catalogue == nil {
			continue
		}
		models := make(map[string]*Model, len(pool.Catalogue.Models))
		for at := range pool.Catalogue.Models {
			models[pool.Catalogue.Models[at].Name] = &pool.Catalogue.Models[at]
		}
		index.models[pool.Name] = models
	}
	for position := range section.Tenants {
		index.addTenant(&section.Tenants[position])
	}
	return index
}

func (i *Index) addTenant(tenant *Tenant) {
	i.tenants[tenant.Name] = tenant
	for _, key := range tenant.Keys {
		i.keyHolders[DigestOf(key)] = tenant
	}
}

// Lookup finds the path with the longest prefix that begins the request's path.
func (i *Index) Lookup(host, path string) (*Path, bool) {
	// A path may name its host with a port; then only that port is meant.
	prefixes := i.hosts[HostKey(host)]
	if prefixes == nil {
		if name, _, err := net.SplitHostPort(host); err == nil {
			prefixes = i.hosts[HostKey(name)]
		}
	}
	if prefixes == nil {
		return nil, false
	}
	// One look-up for each slash, the longest first, whatever the number of paths.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if found, ok := prefixes[path[:end+1]]; ok {
			return found, true
		}
	}
	return nil, false
}

// Pool gives a pool by name.
func (i *Index) Pool(name string) (*Pool, bool) { pool, ok := i.pools[name]; return pool, ok }

// Model gives an entry of a pool's catalogue.
func (i *Index) Model(pool, name string) (*Model, bool) {
	model, ok := i.models[pool][name]
	return model, ok
}

// Tenant gives a tenant by name.
func (i *Index) Tenant(name string) (*Tenant, bool) {
	tenant, ok := i.tenants[name]
	return tenant, ok
}

// HasTenants reports whether the section has tenants, so that requests need a key and engines are told whose they are.
func (i *Index) HasTenants() bool { return len(i.tenants) > 0 || i.Section.KeysRequired }

// TenantOf gives the tenant that holds a key.
func (i *Index) TenantOf(key string) (*Tenant, bool) {
	if key == "" {
		return nil, false
	}
	tenant, ok := i.keyHolders[DigestOf(key)]
	return tenant, ok
}

// RequiresKey reports whether a request on a path needs the key of a tenant.
func (i *Index) RequiresKey(path *Path) bool { return i.HasTenants() && !path.Public }
