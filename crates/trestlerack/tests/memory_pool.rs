//! The memory pool: no sequence of reservations, growth and drops leaks memory or exceeds the limits.

use bolero::check;
use std::collections::BTreeMap;
use trestlerack::Name;
use trestlerack::process::{MemoryLimits, MemoryPool, MemoryPurpose, MemoryReservation, ReserveError, SMALL_BYTES};

/// Memory of the smallest VMs, in megabytes.
const MEMORY_MB: u64 = 120;

fn small_vm() -> MemoryPool {
    MemoryPool::new(MemoryLimits::from_memory(MEMORY_MB))
}

/// Checks the usage of the pool against the sums over all reservations.
fn check_totals(pool: &MemoryPool, reservations: &[(MemoryPurpose, Option<Name>, MemoryReservation)]) {
    let usage = pool.usage();
    let total: usize = reservations.iter().map(|(_, _, reservation)| reservation.bytes()).sum();
    assert_eq!((usage.total, pool.total()), (total, total));
    for (purpose, bytes) in usage.by_purpose {
        let of_purpose = reservations.iter().filter(|(of, _, _)| *of == purpose);
        assert_eq!(of_purpose.map(|(_, _, reservation)| reservation.bytes()).sum::<usize>(), bytes, "{purpose:?}");
    }
    let mut by_customer: BTreeMap<Name, usize> = BTreeMap::new();
    for (_, customer, reservation) in reservations {
        if let Some(customer) = customer.as_ref().filter(|_| reservation.bytes() > 0) {
            *by_customer.entry(customer.clone()).or_default() += reservation.bytes();
        }
    }
    assert_eq!(usage.by_customer.into_iter().collect::<BTreeMap<_, _>>(), by_customer);
}

#[test]
fn no_sequence_of_reservations_and_drops_leaks_or_exceeds_the_limit() {
    check!().with_type::<Vec<(u8, u8, u32)>>().with_iterations(3_000).for_each(|steps| {
        let pool = small_vm();
        let limit = pool.limits().total;
        let mut reservations: Vec<(MemoryPurpose, Option<Name>, MemoryReservation)> = Vec::new();
        for (step, choice, bytes) in steps {
            let purpose = MemoryPurpose::ALL[usize::from(*choice) % MemoryPurpose::ALL.len()];
            let bytes = *bytes as usize % (limit * 2);
            let before = pool.total();
            match step % 5 {
                0 => match pool.try_reserve(purpose, bytes) {
                    Ok(reservation) => reservations.push((purpose, None, reservation)),
                    Err(_) => assert_eq!(pool.total(), before),
                },
                1 if !reservations.is_empty() => {
                    let at = usize::from(*choice) % reservations.len();
                    let reservation = &mut reservations[at].2;
                    let size_before = reservation.bytes();
                    if reservation.try_grow(bytes).is_err() {
                        assert_eq!((reservation.bytes(), pool.total()), (size_before, before));
                    }
                }
                2 if !reservations.is_empty() => {
                    drop(reservations.swap_remove(usize::from(*choice) % reservations.len()))
                }
                3 if !reservations.is_empty() => {
                    let at = usize::from(*choice) % reservations.len();
                    let customer: Name = format!("c{}", choice % 3).into();
                    reservations[at].2.set_customer(&customer);
                    reservations[at].1 = Some(customer);
                }
                4 => reservations.push((purpose, None, pool.reserve(purpose, bytes % SMALL_BYTES))),
                _ => {}
            }
            // Only unconditional reservations and small calls may exceed the limit.
            assert!(pool.total() <= limit.max(before) + SMALL_BYTES);
            check_totals(&pool, &reservations);
        }
        drop(reservations);
        assert_eq!(pool.total(), 0);
    });
}

#[test]
fn a_panic_releases_the_reservation() {
    let pool = small_vm();
    let clone = pool.clone();
    let outcome = std::panic::catch_unwind(move || {
        let _reservation = clone.try_reserve(MemoryPurpose::Bodies, 500_000).unwrap();
        panic!("while reading a body");
    });
    assert!(outcome.is_err());
    assert_eq!(pool.total(), 0);
    assert!(pool.try_reserve(MemoryPurpose::Bodies, 500_000).is_ok());
}

/// Reserves bodies of a megabyte and then responses until both are refused. Small calls must still be served.
#[test]
fn small_calls_have_a_reserve_beside_large_ones() {
    let pool = small_vm();
    let limit = pool.limits().total;
    let mut large: Vec<MemoryReservation> = Vec::new();
    large.extend(std::iter::from_fn(|| pool.try_reserve(MemoryPurpose::Bodies, 1_000_000).ok()));
    assert!((limit / 2 - 1_000_000..=limit / 2).contains(&pool.total()), "new bodies end at half of the limit");
    large.extend(std::iter::from_fn(|| pool.try_reserve(MemoryPurpose::Responses, 1_000_000).ok()));
    assert!(pool.total() <= limit - limit / 8);
    let small: Vec<MemoryReservation> =
        std::iter::from_fn(|| pool.try_reserve(MemoryPurpose::Bodies, SMALL_BYTES).ok()).take(1_000).collect();
    assert!(small.len() >= limit / 8 / SMALL_BYTES, "{} small calls", small.len());
    // A reservation that grows beyond the small size counts as large in full.
    drop(small);
    let mut growing = pool.try_reserve(MemoryPurpose::Bodies, SMALL_BYTES).unwrap();
    assert_eq!(growing.try_grow(1).unwrap_err(), ReserveError::Exhausted);
}

#[test]
fn too_large_and_exhausted_are_distinct_errors() {
    let pool = small_vm();
    let limit = pool.limits().total;
    assert_eq!(pool.try_reserve(MemoryPurpose::Bodies, limit).unwrap_err(), ReserveError::TooLarge);
    let first = pool.try_reserve(MemoryPurpose::Bodies, limit / 2).unwrap();
    assert_eq!(pool.try_reserve(MemoryPurpose::Bodies, limit / 4).unwrap_err(), ReserveError::Exhausted);
    drop(first);
    assert!(pool.try_reserve(MemoryPurpose::Bodies, limit / 4).is_ok());
}

#[test]
fn texts_of_accepted_jobs_are_counted_and_never_refused() {
    let pool = small_vm();
    let limit = pool.limits().total;
    let texts = pool.reserve(MemoryPurpose::Texts, limit + 5);
    assert_eq!((texts.bytes(), pool.total()), (limit + 5, limit + 5));
    assert!(pool.try_reserve(MemoryPurpose::Bodies, SMALL_BYTES + 1).is_err());
    // Small calls can still use their reserve, but no more than that.
    let small: Vec<MemoryReservation> =
        std::iter::from_fn(|| pool.try_reserve(MemoryPurpose::Bodies, SMALL_BYTES).ok()).take(1_000).collect();
    assert_eq!(small.len(), limit / 8 / SMALL_BYTES);
    drop((small, texts));
    assert_eq!(pool.total(), 0);
}

#[test]
fn memory_of_zero_means_no_limit_and_a_tiny_vm_serves_small_calls() {
    let unlimited = MemoryPool::new(MemoryLimits::from_memory(0));
    assert!(!unlimited.limits().is_bounded());
    let reservations: Vec<MemoryReservation> =
        (0..100).map(|_| unlimited.try_reserve(MemoryPurpose::Bodies, usize::MAX / 1_000).unwrap()).collect();
    assert_eq!(reservations.len(), 100);
    let tiny = MemoryPool::new(MemoryLimits::from_memory(10));
    assert!(tiny.try_reserve(MemoryPurpose::Bodies, SMALL_BYTES).is_ok());
}
