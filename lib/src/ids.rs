//! Types for names, indexes and other identifiers.

name! {
    /// Name of a site, which is one installation of the system.
    SiteName,
    /// Name of a service, unique in a bundle.
    ServiceName,
    /// Name of a target (a backend), unique in a bundle.
    TargetName,
    /// Name of an instance of medlarspur, unique at a site.
    InstanceName,
    /// Name of a failure domain.
    DomainName,
    /// Name of a region, which is a group of failure domains near each other.
    RegionName,
}

number! {
    /// Version of a bundle, assigned by its authors. The first is 1.
    Version: u64,
    /// Index of a service in the bundle in force.
    ServiceIx: u16,
    /// Index of a target in its service's list in the bundle in force.
    TargetIx: u16,
    /// Index of a bucket, one of the equal parts into which a service's flows
    /// are hashed.
    Bucket: u16,
    /// Keyed 64-bit hash of a flow's five-tuple. All instances compute the same
    /// value, and all state and messages about a flow refer to it.
    FlowId: u64,
    /// Incarnation of an instance. It grows with each start and each refuted
    /// suspicion. State about a later incarnation replaces state about an
    /// earlier one.
    Incarnation: u64,
}
