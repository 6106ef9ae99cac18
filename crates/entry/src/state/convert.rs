//! Conversion of receipts to and from wire messages.

use receipt::Receipt;
use wire::ReceiptEntry;

pub(crate) fn receipt_to_wire(receipt: &Receipt) -> ReceiptEntry {
    ReceiptEntry {
        json: serde_json::to_vec(receipt).unwrap_or_default(),
    }
}

pub(crate) fn receipt_from_wire(entry: &ReceiptEntry) -> Option<Receipt> {
    serde_json::from_slice(&entry.json).ok()
}
