//! The ledger of held bytes: whatever the order of takes, growth and drops, it neither leaks nor overruns.

use bolero::check;
use std::collections::BTreeMap;
use trestlerack::Name;
use trestlerack::process::{ByteLedger, HeldBounds, HeldBytes, HeldPurpose, SMALL_BYTES, TakeRefusal};

/// Memory of the smallest VMs, in megabytes.
const MEMORY_MB: u64 = 120;

fn small_vm() -> ByteLedger {
    ByteLedger::new(HeldBounds::of_memory(MEMORY_MB))
}

/// Checks the ledger against the sums over those who hold bytes.
fn check_sums(ledger: &ByteLedger, holders: &[(HeldPurpose, Option<Name>, HeldBytes)]) {
    let view = ledger.view();
    let total: usize = holders.iter().map(|(_, _, held)| held.bytes()).sum();
    assert_eq!((view.total, ledger.total()), (total, total));
    for (purpose, bytes) in view.by_purpose {
        let of_purpose = holders.iter().filter(|(of, _, _)| *of == purpose);
        assert_eq!(of_purpose.map(|(_, _, held)| held.bytes()).sum::<usize>(), bytes, "{purpose:?}");
    }
    let mut by_customer: BTreeMap<Name, usize> = BTreeMap::new();
    for (_, customer, held) in holders {
        if let Some(customer) = customer.as_ref().filter(|_| held.bytes() > 0) {
            *by_customer.entry(customer.clone()).or_default() += held.bytes();
        }
    }
    assert_eq!(view.by_customer.into_iter().collect::<BTreeMap<_, _>>(), by_customer);
}

#[test]
fn no_order_of_takes_and_drops_leaks_or_overruns() {
    check!().with_type::<Vec<(u8, u8, u32)>>().with_iterations(3_000).for_each(|steps| {
        let ledger = small_vm();
        let bound = ledger.bounds().total;
        let mut holders: Vec<(HeldPurpose, Option<Name>, HeldBytes)> = Vec::new();
        for (step, choice, bytes) in steps {
            let purpose = HeldPurpose::ALL[usize::from(*choice) % HeldPurpose::ALL.len()];
            let bytes = *bytes as usize % (bound * 2);
            let before = ledger.total();
            match step % 5 {
                0 => match ledger.take(purpose, bytes) {
                    Ok(held) => holders.push((purpose, None, held)),
                    Err(_) => assert_eq!(ledger.total(), before),
                },
                1 if !holders.is_empty() => {
                    let at = usize::from(*choice) % holders.len();
                    let held = &mut holders[at].2;
                    let had = held.bytes();
                    if held.grow(bytes).is_err() {
                        assert_eq!((held.bytes(), ledger.total()), (had, before));
                    }
                }
                2 if !holders.is_empty() => drop(holders.swap_remove(usize::from(*choice) % holders.len())),
                3 if !holders.is_empty() => {
                    let at = usize::from(*choice) % holders.len();
                    let customer: Name = format!("c{}", choice % 3).into();
                    holders[at].2.assign(&customer);
                    holders[at].1 = Some(customer);
                }
                4 => holders.push((purpose, None, ledger.count(purpose, bytes % SMALL_BYTES))),
                _ => {}
            }
            // Only what is counted in any case, and small calls, may lie above the bound.
            assert!(ledger.total() <= bound.max(before) + SMALL_BYTES);
            check_sums(&ledger, &holders);
        }
        drop(holders);
        assert_eq!(ledger.total(), 0);
    });
}

#[test]
fn a_holder_that_panics_gives_its_bytes_back() {
    let ledger = small_vm();
    let holder = ledger.clone();
    let outcome = std::panic::catch_unwind(move || {
        let _held = holder.take(HeldPurpose::Bodies, 500_000).unwrap();
        panic!("in the middle of a body");
    });
    assert!(outcome.is_err());
    assert_eq!(ledger.total(), 0);
    assert!(ledger.take(HeldPurpose::Bodies, 500_000).is_ok());
}

/// Load: bodies of a megabyte come until none is taken, then answers. Small calls are served all the same.
#[test]
fn small_calls_have_a_reserve_beside_large_ones() {
    let ledger = small_vm();
    let bound = ledger.bounds().total;
    let mut large: Vec<HeldBytes> = Vec::new();
    large.extend(std::iter::from_fn(|| ledger.take(HeldPurpose::Bodies, 1_000_000).ok()));
    assert!((bound / 2 - 1_000_000..=bound / 2).contains(&ledger.total()), "new bodies end at half of the bound");
    large.extend(std::iter::from_fn(|| ledger.take(HeldPurpose::Answers, 1_000_000).ok()));
    assert!(ledger.total() <= bound - bound / 8);
    let small: Vec<HeldBytes> =
        std::iter::from_fn(|| ledger.take(HeldPurpose::Bodies, SMALL_BYTES).ok()).take(1_000).collect();
    assert!(small.len() >= bound / 8 / SMALL_BYTES, "{} small calls", small.len());
    // A body that grows is large as a whole.
    drop(small);
    let mut growing = ledger.take(HeldPurpose::Bodies, SMALL_BYTES).unwrap();
    assert_eq!(growing.grow(1).unwrap_err(), TakeRefusal::NotNow);
}

#[test]
fn what_never_fits_is_told_from_what_does_not_fit_now() {
    let ledger = small_vm();
    let bound = ledger.bounds().total;
    assert_eq!(ledger.take(HeldPurpose::Bodies, bound).unwrap_err(), TakeRefusal::Never);
    let first = ledger.take(HeldPurpose::Bodies, bound / 2).unwrap();
    assert_eq!(ledger.take(HeldPurpose::Bodies, bound / 4).unwrap_err(), TakeRefusal::NotNow);
    drop(first);
    assert!(ledger.take(HeldPurpose::Bodies, bound / 4).is_ok());
}

#[test]
fn accepted_texts_are_counted_and_never_refused() {
    let ledger = small_vm();
    let bound = ledger.bounds().total;
    let texts = ledger.count(HeldPurpose::Texts, bound + 5);
    assert_eq!((texts.bytes(), ledger.total()), (bound + 5, bound + 5));
    assert!(ledger.take(HeldPurpose::Bodies, SMALL_BYTES + 1).is_err());
    // Small calls have their reserve also then, and no more than that.
    let small: Vec<HeldBytes> =
        std::iter::from_fn(|| ledger.take(HeldPurpose::Bodies, SMALL_BYTES).ok()).take(1_000).collect();
    assert_eq!(small.len(), bound / 8 / SMALL_BYTES);
    drop((small, texts));
    assert_eq!(ledger.total(), 0);
}

#[test]
fn without_a_memory_nothing_is_bounded_and_a_tiny_one_serves_small_calls() {
    let free = ByteLedger::new(HeldBounds::of_memory(0));
    assert!(!free.bounds().is_bounded());
    let held: Vec<HeldBytes> = (0..100).map(|_| free.take(HeldPurpose::Bodies, usize::MAX / 1_000).unwrap()).collect();
    assert_eq!(held.len(), 100);
    let tiny = ByteLedger::new(HeldBounds::of_memory(10));
    assert!(tiny.take(HeldPurpose::Bodies, SMALL_BYTES).is_ok());
}
