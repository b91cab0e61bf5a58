//! What a seed draws does not change, so that kept seeds still play the faults that they exposed.

use std::time::Duration;

use flamingopost_soak::plan::Plan;

/// Length of the drawn runs.
const LENGTH: Duration = Duration::from_secs(12);

/// Seeds of each range, with the number of faults that they draw and the digest of their plan.
const DRAWN: [(u64, usize, u64); 17] = [
    (4, 20, 0x359f_cc43_1523_df26),
    (1_028, 19, 0x562f_be20_1aac_3a36),
    (20_261, 19, 0x40c3_daf9_8d0c_ab54),
    (4_294_967_299, 32, 0xee15_f9f9_c5c4_6aa4),
    (4_294_967_406, 29, 0xbd7b_b6c3_8186_7d92),
    (8_589_944_592, 23, 0xe581_409a_44d1_5276),
    (8_589_934_595, 22, 0xfaba_5bf5_05cd_0d50),
    (17_179_869_187, 37, 0x9560_1640_a3cf_63e4),
    (17_179_870_021, 36, 0x5645_fd46_91b0_7ba3),
    (34_359_738_371, 40, 0x354c_9106_a5e3_0055),
    (34_359_738_372, 35, 0x8e11_76bc_cf04_7c1c),
    (68_719_476_743, 68, 0x7b71_ea3a_cf17_6978),
    (137_438_953_476, 44, 0x319e_6689_5d3a_457c),
    (137_438_956_019, 56, 0x0e97_4400_8991_086f),
    (274_877_906_944, 1, 0x58ec_17ca_026f_94b8),
    (274_877_906_945, 2, 0x46fd_7b82_780c_d2f7),
    (274_877_906_946, 1, 0x1e16_9b16_58ac_0702),
];

/// Returns the 64-bit FNV-1a digest of `text`.
fn digest(text: &str) -> u64 {
    let step = |digest: u64, byte| (digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

#[test]
fn seeds_draw_what_they_drew_before_further_faults_existed() {
    let drawn = DRAWN.map(|(seed, _, _)| {
        let plan = Plan::draw(seed, LENGTH, None);
        let sizes = (plan.hosts, plan.zones, plan.sizes, plan.callers);
        let site = (plan.lax, plan.late_datagrams, plan.unread);
        let text = format!("{sizes:?} {site:?} {:?}", plan.faults);
        (seed, plan.faults.len(), digest(&text))
    });
    assert_eq!(drawn, DRAWN);
}
