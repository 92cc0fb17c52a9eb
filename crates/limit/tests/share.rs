//! Tests of the division of a capacity by urgency. Each names the load that it covers.

use limit::share;
use limit::share::Demand;
use limit::share::Rate;
use limit::share::PRIORITIES;
use proptest::prelude::*;

const CAPACITY: Rate = 10_000;

fn demand(offered: &[(usize, Rate)], committed: &[(usize, Rate)]) -> Demand {
    let mut demand = Demand::default();
    for &(priority, rate) in offered {
        demand.offered[priority] = rate;
    }
    for &(priority, rate) in committed {
        demand.committed[priority] = rate;
    }
    demand
}

/// Makes a test of the admitted rates of priorities 0, 1 and 2 for each demand.
macro_rules! divides {
    ($($name:ident: $offered:expr, $committed:expr => $want:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let admitted = share::admit(CAPACITY, &demand(&$offered, &$committed));
                assert_eq!(admitted[..3], $want);
            }
        )*
    };
}

divides! {
    load_within_the_capacity_is_admitted: [(0, 4_000), (2, 3_000)], [(2, 3_000)] => [4_000, 0, 3_000];
    the_least_urgent_yields_at_1_3_times: [(0, 5_000), (1, 8_000)], [] => [5_000, 5_000, 0];
    the_least_urgent_keeps_a_reserve_at_4_times: [(0, 20_000), (1, 20_000)], [] => [9_500, 500, 0];
    every_kind_keeps_a_reserve: [(0, 20_000), (1, 20_000), (2, 20_000)], [] => [9_000, 500, 500];
    a_small_kind_keeps_what_it_offers: [(0, 20_000), (1, 30)], [] => [9_970, 30, 0];
    a_crowd_of_one_kind_gets_the_capacity: [(2, 40_000)], [] => [0, 0, 10_000];
    open_flows_leave_the_rest: [(1, 6_000)], [(1, 7_000)] => [0, 3_000, 0];
    open_flows_of_a_less_urgent_kind_do_not_refuse_urgent_ones: [(1, 3_000), (2, 2_000)], [(2, 12_000)]
        => [0, 3_000, 500];
    open_flows_above_the_capacity_leave_the_reserve: [(1, 6_000)], [(1, 20_000)] => [0, 500, 0];
}

/// Guards against a division by priority that depends on more than urgency at the end of the scale.
#[test]
fn greater_priorities_count_as_the_last() {
    assert_eq!(share::index(0), 0);
    assert_eq!(share::index(7), 7);
    assert_eq!(share::index(255), PRIORITIES - 1);
}

fn rates() -> impl Strategy<Value = [Rate; PRIORITIES]> {
    prop::array::uniform8(prop_oneof![Just(0), 0..40_000u32])
}

proptest! {
    /// Guards against refusals while capacity is left, and against more than the capacity.
    #[test]
    fn the_division_is_work_conserving(capacity in 0..60_000u32, offered in rates(), committed in rates()) {
        let demand = Demand { offered, committed };
        let admitted = share::admit(capacity, &demand);
        let sum: Rate = admitted.iter().sum();
        let committed: Rate = demand.committed.iter().sum();
        let room = capacity.saturating_sub(committed);
        let reserve = capacity * share::RESERVE_PERCENT / 100;
        for priority in 0..PRIORITIES {
            prop_assert!(admitted[priority] <= offered[priority]);
            prop_assert!(admitted[priority] >= offered[priority].min(reserve));
        }
        let all: Rate = offered.iter().sum();
        prop_assert!(sum >= all.min(room), "{sum} of {all} admitted, room for {room}");
        prop_assert!(sum <= capacity.max(reserve * PRIORITIES as u32));
        if demand.sum() <= capacity {
            prop_assert_eq!(admitted, offered);
        }
    }

    /// Guards against a more urgent kind that loses by demand of a less urgent one beyond the
    /// reserve.
    #[test]
    fn less_urgent_demand_costs_at_most_its_reserve(offered in rates(), priority in 0..PRIORITIES - 1) {
        let whole = Demand { offered, ..Demand::default() };
        let mut urgent = whole;
        urgent.offered[priority + 1..].fill(0);
        let (with, without) = (share::admit(CAPACITY, &whole), share::admit(CAPACITY, &urgent));
        let reserve = CAPACITY * share::RESERVE_PERCENT / 100;
        let others = (PRIORITIES - 1 - priority) as u32;
        for index in 0..=priority {
            prop_assert!(with[index] + reserve * others >= without[index]);
        }
    }
}
